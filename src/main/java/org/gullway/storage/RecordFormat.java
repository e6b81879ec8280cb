package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.MalformedMessageException;

/**
 * The stored form of one type of record. The field names are literals: they stay as they are whatever the Java names
 * become, so that stored records remain readable.
 */
interface RecordFormat<T extends StoreRecord> {
    ObjectNode encode(T record);

    /**
     * Reads a stored record.
     *
     * @param name the part of the key that names the record among those of its type
     * @throws MalformedMessageException naming the field that does not have the stored form
     */
    T decode(String name, JsonNode value) throws MalformedMessageException;
}
