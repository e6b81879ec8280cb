package org.gullway.protocol;

import java.util.List;

/** Encoded answers to reports; the one without commands, which is by far the most frequent, is encoded once a token. */
public final class ReportResponses {
    private long token = -1;
    private byte[] withoutCommands;

    /** The answer to a worker's report; its bytes are shared and must not be changed. */
    public byte[] encode(long answerToken, List<Command> commands) {
        if (!commands.isEmpty()) {
            return Command.response(answerToken, commands);
        }
        if (token != answerToken) {
            token = answerToken;
            withoutCommands = Command.response(answerToken, commands);
        }
        return withoutCommands;
    }
}
