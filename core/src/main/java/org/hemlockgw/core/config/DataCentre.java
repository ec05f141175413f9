package org.hemlockgw.core.config;

/**
 * A data centre.
 *
 * @param name unique name
 * @param region name of its region
 */
public record DataCentre(String name, String region) {
}
