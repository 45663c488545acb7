#include "pending_calls.hpp"

#include <utility>

namespace arrowstile {
namespace {

/// Short answers that are ready at once share a slot up to this size.
constexpr std::size_t kMaxJoinedAnswerBytes = 1024;

}  // namespace

AnswerSlot AnswerQueue::reserveSlot() {
    answers_.emplace_back();
    ++unansweredCount_;
    return {firstSlot_ + answers_.size() - 1};
}

bool AnswerQueue::fillSlot(AnswerSlot slot, std::string text) {
    if (slot.value < firstSlot_ || slot.value - firstSlot_ >= answers_.size()) return false;
    auto &answer = answers_[slot.value - firstSlot_];
    if (answer) return false;
    answerBytes_ += text.size();
    --unansweredCount_;
    answer = std::move(text);
    return true;
}

void AnswerQueue::appendReady(std::string_view text) {
    const bool mayJoin = !answers_.empty() && answers_.back() &&
                         answers_.back()->size() + text.size() <= kMaxJoinedAnswerBytes;
    if (!mayJoin) {
        fillSlot(reserveSlot(), std::string(text));
        return;
    }
    *answers_.back() += text;
    answerBytes_ += text.size();
}

void AnswerQueue::popReady(std::string &out, std::size_t maxBytes) {
    while (hasReady() && out.size() < maxBytes) {
        out += *answers_.front();
        answerBytes_ -= answers_.front()->size();
        answers_.pop_front();
        ++firstSlot_;
    }
}

CallId PendingCallTable::add(ApiCall call, ClientId client, AnswerSlot slot) {
    const CallId id{++lastId_};
    call.event.call = id;
    textBytes_ += call.textBytes();
    requestIds_.insert(call.requestId);
    calls_.emplace(id, PendingCall{std::move(call), client, slot, 0});
    callsByClient_[client].insert(id);
    return id;
}

PendingCall *PendingCallTable::find(CallId id) {
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
}

std::optional<PendingCall> PendingCallTable::remove(CallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return std::nullopt;
    PendingCall removed = std::move(found->second);
    calls_.erase(found);
    textBytes_ -= removed.call.textBytes();
    requestIds_.erase(removed.call.requestId);
    const auto ofClient = callsByClient_.find(removed.client);
    ofClient->second.erase(id);
    if (ofClient->second.empty()) callsByClient_.erase(ofClient);
    return removed;
}

std::vector<CallId> PendingCallTable::callsOf(ClientId client) const {
    const auto found = callsByClient_.find(client);
    if (found == callsByClient_.end()) return {};
    return {found->second.begin(), found->second.end()};
}

std::vector<CallId> PendingCallTable::removeAllOf(ClientId client) {
    const std::vector<CallId> ids = callsOf(client);
    for (const CallId id : ids) remove(id);
    return ids;
}

std::string encodeProxiedAnswer(std::string_view value) {
    std::string text;
    resp::appendBulk(text, value);
    return text;
}

std::string encodeRateLimitedAnswer(std::optional<Duration> retryAfter) {
    std::string text;
    const auto retryAfterMs = retryAfter ? (retryAfter->count() + 999) / 1000 : 0;
    resp::appendError(text, retryAfterMs > 0 ? "BUSY " + std::to_string(retryAfterMs) : "BUSY");
    return text;
}

std::string encodeErroredAnswer() {
    std::string text;
    resp::appendError(text, "ERR failed");
    return text;
}

}  // namespace arrowstile
