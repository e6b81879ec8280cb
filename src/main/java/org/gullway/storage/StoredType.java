package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.protocol.MalformedMessageException;

/**
 * A record type with the keys under which it is stored and its encoding.
 *
 * @param keyOrPrefix the only key of this type, or the prefix of all its keys if it ends with a slash
 */
record StoredType<T extends StoreRecord>(String keyOrPrefix, RecordFormat<T> format) {
    boolean matches(String storedKey) {
        return keyOrPrefix.endsWith("/") ? storedKey.startsWith(keyOrPrefix) : storedKey.equals(keyOrPrefix);
    }

    T decode(String storedKey, JsonNode value) throws MalformedMessageException {
        return format.decode(storedKey.substring(keyOrPrefix.length()), value);
    }
}
