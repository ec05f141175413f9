/**
 * Rules for retries and for the quarantine of content that crashes engines.
 */
@NullMarked
package org.hemlockgw.core.retry;

import org.jspecify.annotations.NullMarked;
