package org.hemlockgw.standins.engine;

/**
 * One generated token.
 *
 * @param jobId request identifier
 * @param atNs when it was generated
 * @param index position in the answer
 * @param cachedTokens prompt tokens that came from the prefix cache
 * @param last whether the answer ends here
 */
public record EngineProgress(String jobId, long atNs, long index, long cachedTokens, boolean last) {
}
