/**
 * The configuration document: its immutable form, its validation, and its state as
 * derived from the stream of patches.
 */
@NullMarked
package org.hemlockgw.core.config;

import org.jspecify.annotations.NullMarked;
