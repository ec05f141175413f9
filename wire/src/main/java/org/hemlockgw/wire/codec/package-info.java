/**
 * Conversion of log records to protobuf bytes and back.
 */
@NullMarked
package org.hemlockgw.wire.codec;

import org.jspecify.annotations.NullMarked;
