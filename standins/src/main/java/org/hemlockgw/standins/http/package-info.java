/**
 * HTTP server and JSON handling shared by the stand-ins.
 */
@NullMarked
package org.hemlockgw.standins.http;

import org.jspecify.annotations.NullMarked;
