/**
 * Routing of caller requests to pools of backend servers.
 */
@NullMarked
package org.hemlockgw.core.route;

import org.jspecify.annotations.NullMarked;
