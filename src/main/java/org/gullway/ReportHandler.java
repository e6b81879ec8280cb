package org.gullway;

import java.time.Duration;
import java.time.Instant;
import org.gullway.bookkeeping.Ledger;
import org.gullway.coordination.CancellationWatermark;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.LeaseRenewalPolicy;
import org.gullway.coordination.MachineControl;
import org.gullway.coordination.ReportAnswer;
import org.gullway.protocol.Command;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.ReportResponses;
import org.gullway.protocol.WorkerReport;
import org.gullway.transport.Call;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the reports of workers. An answer with 200 renews the worker's lease. */
final class ReportHandler {
    private static final Logger LOG = LoggerFactory.getLogger(ReportHandler.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final ClusterView view;
    private final Ledger ledger;
    private final MachineControl machines;
    private final CancelledTasks cancelled;
    private final CancellationWatermark horizon;
    private final LeaseRenewalPolicy leases;
    private final Runnable schedule;
    private final ReportResponses responses = new ReportResponses();
    private boolean wasEntitled;

    /** @param schedule asks for a round, after a report that changed something */
    ReportHandler(
            EventLoop loop,
            ClusterView view,
            Ledger ledger,
            MachineControl machines,
            CancelledTasks cancelled,
            CancellationWatermark horizon,
            LeaseRenewalPolicy leases,
            Runnable schedule) {
        this.loop = loop;
        this.view = view;
        this.ledger = ledger;
        this.machines = machines;
        this.cancelled = cancelled;
        this.horizon = horizon;
        this.leases = leases;
        this.schedule = schedule;
    }

    /** From now on reports are read also in times without entitlement. */
    void entitled() {
        wasEntitled = true;
    }

    void answer(Call call) {
        Instant now = loop.now();
        boolean entitled = ledger.entitled();
        if (!leases.mayRenew(horizon.until(ledger.knownUntil()), now) || !entitled && !wasEntitled) {
            // Before the body is read: after a restart all workers ask again every second, and reading comes first.
            call.refuse(503, RETRY_AFTER);
            return;
        }
        WorkerReport report;
        try {
            report = read(call);
        } catch (MalformedException e) {
            LOG.info("a report cannot be read: {}", e.getMessage());
            call.answer(400, EMPTY);
            return;
        }
        if (entitled) {
            answer(call, machines.report(report, loop.now()));
        } else if (leases.keeps(report, loop.now())) {
            call.answer(200, responses.encode(view.epoch(), cancelled.stops(report)));
        } else {
            call.refuse(503, RETRY_AFTER);
        }
    }

    private WorkerReport read(Call call) throws MalformedException {
        if (call.body() == null) {
            throw new MalformedException("the body is larger than allowed");
        }
        return WorkerReport.parse(call.body(), machines::lastMessage);
    }

    private void answer(Call call, ReportAnswer answer) {
        if (answer instanceof ReportAnswer.Commands commands) {
            call.answer(200, responses.encode(commands.token(), commands.commands()));
            if (commands.changed()) {
                schedule.run();
            }
        } else if (answer instanceof ReportAnswer.Elsewhere elsewhere) {
            call.answer(421, Command.redirect(elsewhere.controller()));
        } else {
            call.refuse(503, RETRY_AFTER);
        }
    }
}
