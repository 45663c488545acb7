#include "pending_calls.hpp"

#include <utility>

namespace arrowstile {

AnswerSlot AnswerQueue::reserveSlot() {
    answers_.emplace_back();
    return {first_ + answers_.size() - 1};
}

bool AnswerQueue::fillSlot(AnswerSlot slot, std::string text) {
    if (slot.value < first_ || slot.value - first_ >= answers_.size()) return false;
    auto &answer = answers_[slot.value - first_];
    if (answer) return false;
    answer = std::move(text);
    return true;
}

void AnswerQueue::popReady(std::string &out) {
    for (; !answers_.empty() && answers_.front(); ++first_) {
        out += *answers_.front();
        answers_.pop_front();
    }
}

CallId PendingCallTable::add(ApiCall call, ClientId client, AnswerSlot slot) {
    const CallId id{++last_};
    call.event.call = id;
    bytes_ += call.body.size();
    requestIds_.insert(call.requestId);
    calls_.emplace(id, PendingCall{std::move(call), client, slot, 0});
    byClient_[client].insert(id);
    return id;
}

PendingCall *PendingCallTable::find(CallId id) {
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
}

std::optional<PendingCall> PendingCallTable::remove(CallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return std::nullopt;
    PendingCall ended = std::move(found->second);
    calls_.erase(found);
    bytes_ -= ended.call.body.size();
    requestIds_.erase(ended.call.requestId);
    const auto client = byClient_.find(ended.client);
    client->second.erase(id);
    if (client->second.empty()) byClient_.erase(client);
    return ended;
}

std::vector<CallId> PendingCallTable::callsOf(ClientId client) const {
    const auto found = byClient_.find(client);
    if (found == byClient_.end()) return {};
    return {found->second.begin(), found->second.end()};
}

std::vector<CallId> PendingCallTable::removeAllOf(ClientId client) {
    const std::vector<CallId> gone = callsOf(client);
    for (const CallId id : gone) remove(id);
    return gone;
}

std::string encodeProxiedAnswer(std::string_view value) {
    std::string text;
    resp::appendBulk(text, value);
    return text;
}

std::string encodeRateLimitedAnswer(std::optional<Duration> retryAfter) {
    std::string text;
    const auto waitMs = retryAfter ? (retryAfter->count() + 999) / 1000 : 0;
    resp::appendError(text, waitMs > 0 ? "BUSY " + std::to_string(waitMs) : "BUSY");
    return text;
}

std::string encodeErroredAnswer() {
    std::string text;
    resp::appendError(text, "ERR failed");
    return text;
}

}  // namespace arrowstile
