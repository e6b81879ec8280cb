package org.gullway.coordination.scaling;

/** A number of machines of one kind that the cloud provider shall provision. */
public record ProvisioningRequest(String type, String zone, boolean spot, int count) {}
