package org.gullway.cloud;

import java.util.List;
import org.gullway.transport.HttpResponse;

/**
 * How a provisioning request ended.
 *
 * @param machines names of the provisioned machines; empty unless the status is {@code PROVISIONED}
 * @param response the provider's response
 */
record ProvisioningOutcome(Status status, List<String> machines, HttpResponse response) {
    /** What is known of a provisioning request after its response, or the lack of one. */
    enum Status {
        /** Carried out, possibly for fewer machines than were requested. */
        PROVISIONED,
        /** The provider has none of these machines. */
        REFUSED,
        /** Carried out, but the names of the machines cannot be read. */
        MALFORMED,
        /** Possibly carried out; the same request has to be sent again. */
        UNKNOWN
    }

    static ProvisioningOutcome provisioned(List<String> machines, HttpResponse response) {
        return new ProvisioningOutcome(Status.PROVISIONED, machines, response);
    }

    static ProvisioningOutcome without(Status status, HttpResponse response) {
        return new ProvisioningOutcome(status, List.of(), response);
    }
}
