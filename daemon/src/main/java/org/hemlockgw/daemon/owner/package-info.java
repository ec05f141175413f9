/**
 * The program owner: runs the calls of the programs of its shards.
 */
@NullMarked
package org.hemlockgw.daemon.owner;

import org.jspecify.annotations.NullMarked;
