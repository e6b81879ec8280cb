package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.MalformedMessageException;

/**
 * A type of record, the keys under which it is stored, and its stored form.
 *
 * @param key the one key of this type, or a prefix of its keys, which ends with a slash
 */
record StoredType<T extends StoreRecord>(String key, RecordFormat<T> format) {
    boolean matches(String otherKey) {
        return key.endsWith("/") ? otherKey.startsWith(key) : otherKey.equals(key);
    }

    T decode(String storedKey, JsonNode value) throws MalformedMessageException {
        return format.decode(storedKey.substring(key.length()), value);
    }
}
