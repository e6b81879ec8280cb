package org.gullway.cloud;

import java.util.List;
import org.gullway.transport.HttpResponse;

/**
 * The outcome of a provisioning request.
 *
 * @param machines names of the provisioned machines; empty unless the status is {@code PROVISIONED}
 * @param response the provider's response
 */
record ProvisioningOutcome(Status status, List<String> machines, HttpResponse response) {
    /** What is known about a provisioning request after its response or timeout. */
    enum Status {
        /** The provider provisioned machines, possibly fewer than requested. */
        PROVISIONED,
        /** The provider refused the request, which is treated as a lack of capacity for the requested machines. */
        REFUSED,
        /**
         * The provider processed the request, but its response with the names of the machines is malformed. The
         * machines are recorded when they appear in the provider's list.
         */
        MALFORMED,
        /** The request was not processed, or its outcome is unknown. It must be sent again with the same id. */
        UNKNOWN
    }

    static ProvisioningOutcome provisioned(List<String> machines, HttpResponse response) {
        return new ProvisioningOutcome(Status.PROVISIONED, machines, response);
    }

    static ProvisioningOutcome withoutMachines(Status status, HttpResponse response) {
        return new ProvisioningOutcome(status, List.of(), response);
    }
}
