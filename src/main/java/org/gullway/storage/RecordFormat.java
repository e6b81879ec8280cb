package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.MalformedMessageException;

/**
 * Stored encoding of one record type. Field names are string literals and must not change when Java names are renamed,
 * so that records stored by earlier versions remain readable.
 */
interface RecordFormat<T extends StoreRecord> {
    ObjectNode encode(T record);

    /**
     * Decodes a stored record. Not everything is validated: the values of placements, completed tasks and machines, and
     * the amounts of a quota partition, are converted to the required type, and are 0, false or an empty text if they
     * are missing or cannot be converted. Agent epochs, attempts, unknown lifecycles and invalid ranges of completed
     * tasks are still rejected.
     *
     * @param name the key without the prefix of the record type
     * @throws MalformedMessageException if the format rejects a field
     */
    T decode(String name, JsonNode value) throws MalformedMessageException;
}
