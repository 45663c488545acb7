/// \file
/// See arrowstile/request_start.hpp.
#include <arrowstile/request_start.hpp>

namespace arrowstile {
namespace {

/// The process may be suspended for this long between reading its clock and writing.
constexpr Duration kMaxSuspension = std::chrono::milliseconds(150);

std::optional<StartRefusal> refusalByCall(const RequestStartState &state) {
    if (!state.isCallPending) return StartRefusal::callClosed;
    if (state.client == ClientPresence::gone) return StartRefusal::clientGone;
    if (state.now >= state.deadline) return StartRefusal::deadlinePassed;
    return std::nullopt;
}

std::optional<StartRefusal> refusalByWorker(const RequestStartState &state) {
    if (state.worker.state != WorkerState::ready) return StartRefusal::workerNotReady;
    if (!state.isSameProcess) return StartRefusal::processReplaced;
    if (state.latestStart && state.now > *state.latestStart) return StartRefusal::startTooLate;
    return std::nullopt;
}

}  // namespace

bool isWithinRepeatWindow(const RepeatTerms &terms, Timestamp now) {
    return now < terms.windowEndsAt - kMaxSuspension;
}

bool isWithinRepeatScope(const RepeatTerms &terms, const WorkerEntry &worker) {
    switch (terms.scope) {
        case DedupScope::all: return true;
        case DedupScope::zone: return worker.zone == terms.zone;
        case DedupScope::group: return worker.group == terms.group;
    }
    return false;
}

std::optional<StartRefusal> refusalToStart(const RequestStartState &state) {
    if (const auto refusal = refusalByCall(state)) return refusal;
    if (const auto refusal = refusalByWorker(state)) return refusal;
    if (state.client == ClientPresence::unknown) return StartRefusal::clientUnknown;
    if (!state.repeat) return std::nullopt;
    if (!isWithinRepeatWindow(*state.repeat, state.now)) return StartRefusal::windowOver;
    if (!isWithinRepeatScope(*state.repeat, state.worker)) return StartRefusal::outsideScope;
    return std::nullopt;
}

std::optional<StartRefusal> refusalToContinue(const RequestStartState &state) {
    if (const auto refusal = refusalByCall(state)) return refusal;
    if (state.repeat && !isWithinRepeatWindow(*state.repeat, state.now)) return StartRefusal::windowOver;
    return std::nullopt;
}

const char *toString(StartRefusal reason) {
    switch (reason) {
        case StartRefusal::callClosed: return "call_closed";
        case StartRefusal::clientGone: return "client_gone";
        case StartRefusal::clientUnknown: return "client_unknown";
        case StartRefusal::deadlinePassed: return "deadline_passed";
        case StartRefusal::workerNotReady: return "worker_not_ready";
        case StartRefusal::processReplaced: return "process_replaced";
        case StartRefusal::startTooLate: return "start_too_late";
        case StartRefusal::windowOver: return "window_over";
        case StartRefusal::outsideScope: return "outside_scope";
    }
    return "";
}

}  // namespace arrowstile
