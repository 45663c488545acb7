#include "metrics.hpp"

namespace arrowstile {

std::string Metrics::toText() const {
    const std::pair<const char *, std::uint64_t> lines[] = {
        {"clients_accepted", clientsAccepted},
        {"clients_turned_away", clientsRejected},
        {"clients_let_go", clientsEvicted},
        {"clients_stalled", clientsStalled},
        {"read_pauses", readPauses},
        {"answer_bytes_peak", peakAnswerBytes},
        {"command_waits", commandWaits},
        {"commands_without_memory", commandsWithoutMemory},
        {"bad_commands", badCommands},
        {"calls_taken", callsTaken},
        {"calls_proxied", callsProxied},
        {"calls_rate_limited", callsRateLimited},
        {"calls_errored", callsErrored},
        {"answers_not_held", answersNotHeld},
        {"calls_abandoned", callsAbandoned},
        {"tries_sent", triesSent},
        {"tries_answered", triesAnswered},
        {"tries_errored", triesErrored},
        {"tries_full", triesOverloaded},
        {"tries_timed_out", triesTimedOut},
        {"tries_unconnected", triesConnectFailed},
        {"tries_reset", triesReset},
        {"tries_called_off", triesCancelled},
        {"tries_not_sent", triesNotSent},
        {"tries_failed_locally", triesFailedLocally},
        {"replies_spoilt", invalidReplies},
        {"worker_connections", workerConnections},
        {"counts_sent", countsSent},
        {"counts_answered", countsAnswered},
        {"counts_lost", countsLost},
        {"counter_connections", counterConnections},
        {"lists", lists},
        {"list_waits", listWaits},
        {"watches", watches},
        {"reloads", reloads},
        {"peer_messages_in", peerMessagesIn},
        {"peer_messages_out", peerMessagesOut},
    };
    std::string text;
    for (const auto &[name, value] : lines) {
        text.append(name).append(":").append(std::to_string(value)).append("\r\n");
    }
    const std::pair<const char *, std::uint64_t> stopLines[] = {
        {"stop_calls_refused", stopCallsRefused},
        {"stop_calls_errored", stopCallsErrored},
        {"stop_connections_ended", stopConnectionsEnded},
        {"stop_connections_cut", stopConnectionsCut},
    };
    for (const auto &[name, value] : stopLines) {
        if (value == 0) continue;
        text.append(name).append(":").append(std::to_string(value)).append("\r\n");
    }
    for (std::size_t reason = 0; reason < kStartRefusalCount; ++reason) {
        if (startRefusals[reason] == 0) continue;
        text.append("tries_refused_").append(toString(static_cast<StartRefusal>(reason)));
        text.append(":").append(std::to_string(startRefusals[reason])).append("\r\n");
    }
    return text;
}

}  // namespace arrowstile
