/**
 * The configuration document: its immutable form, checks, and the fold of its patch
 * stream.
 */
@NullMarked
package org.hemlockgw.core.config;

import org.jspecify.annotations.NullMarked;
