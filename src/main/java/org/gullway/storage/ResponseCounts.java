package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import org.gullway.protocol.Count;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageFields;

/**
 * The revision and the lease in a response of the state store. The store chooses them, and the controller compares them
 * and sends them back. A number that is out of range or missing makes the response unreadable; it must not be taken for
 * zero, which stands for a key that does not exist.
 *
 * @param revision the revision at which the request was carried out or, for a read of a single key, the version of the
 *     key; zero if the response has neither
 * @param leaseId the lease that was granted, or on which the key is held; null if the response has none
 */
record ResponseCounts(Count revision, Count leaseId) {
    static final String REVISION = "logline";
    static final String VERSION = "mark";
    static final String LEASE = "tether";
    static final ResponseCounts NONE = new ResponseCounts(Count.ZERO, null);

    /**
     * Reads the numbers of a response.
     *
     * @param required name of the number that the response must have; null if it need not have any
     */
    static ResponseCounts parse(JsonNode body, String required) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(body);
        if (required != null) {
            fields.count(required);
        }
        Count version = countOr(Count.ZERO, fields, VERSION);
        return new ResponseCounts(countOr(version, fields, REVISION), countOr(null, fields, LEASE));
    }

    private static Count countOr(Count missing, MessageFields fields, String name) throws MalformedMessageException {
        return fields.has(name) ? fields.count(name) : missing;
    }

    /** Reads the version of a key from a list item or a watch event. */
    static Count version(JsonNode item) throws MalformedMessageException {
        Count version = MessageFields.of(item).count(VERSION);
        if (version.isZero()) {
            throw new MalformedMessageException(VERSION + " is 0, which is the version of keys that do not exist");
        }
        return version;
    }
}
