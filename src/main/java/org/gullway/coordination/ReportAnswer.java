package org.gullway.coordination;

import java.util.List;
import org.gullway.protocol.Command;

/** How a report is answered. */
public sealed interface ReportAnswer {
    /** @param changed whether the report may give this controller something to do */
    record Commands(long token, List<Command> commands, boolean changed) implements ReportAnswer {}

    /** The worker should report to another controller; null leaves the choice to it. */
    record Elsewhere(String controller) implements ReportAnswer {}

    /** This controller's knowledge is behind the worker's. */
    record NotYet() implements ReportAnswer {}
}
