package org.gullway.coordination.scaling;

/** A request to the cloud provider for a number of machines of one type, in one zone, all spot or all on-demand. */
public record ProvisioningRequest(String type, String zone, boolean spot, int count) {}
