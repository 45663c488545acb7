#include "call_book.hpp"

#include <utility>

namespace arrowstile {

Place AnswerQueue::open() {
    answers_.emplace_back();
    return {first_ + answers_.size() - 1};
}

bool AnswerQueue::answer(Place place, std::string text) {
    if (place.value < first_ || place.value - first_ >= answers_.size()) return false;
    auto &slot = answers_[place.value - first_];
    if (slot) return false;
    slot = std::move(text);
    return true;
}

void AnswerQueue::take(std::string &out) {
    for (; !answers_.empty() && answers_.front(); ++first_) {
        out += *answers_.front();
        answers_.pop_front();
    }
}

CallId CallBook::add(ApiCall call, ClientId client, Place place) {
    const CallId id{++last_};
    call.taken.call = id;
    bytes_ += call.body.size();
    names_.insert(call.id);
    calls_.emplace(id, InHand{std::move(call), client, place, 0});
    byClient_[client].insert(id);
    return id;
}

InHand *CallBook::find(CallId id) {
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
}

std::optional<InHand> CallBook::end(CallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return std::nullopt;
    InHand ended = std::move(found->second);
    calls_.erase(found);
    bytes_ -= ended.call.body.size();
    names_.erase(ended.call.id);
    const auto client = byClient_.find(ended.client);
    client->second.erase(id);
    if (client->second.empty()) byClient_.erase(client);
    return ended;
}

std::vector<CallId> CallBook::owed(ClientId client) const {
    const auto found = byClient_.find(client);
    if (found == byClient_.end()) return {};
    return {found->second.begin(), found->second.end()};
}

std::vector<CallId> CallBook::drop(ClientId client) {
    const std::vector<CallId> gone = owed(client);
    for (const CallId id : gone) end(id);
    return gone;
}

std::string proxiedAnswer(std::string_view value) {
    std::string text;
    resp::addBulk(text, value);
    return text;
}

std::string rateLimitAnswer(std::optional<Duration> retryAfter) {
    std::string text;
    const auto waitMs = retryAfter ? (retryAfter->count() + 999) / 1000 : 0;
    resp::addError(text, waitMs > 0 ? "BUSY " + std::to_string(waitMs) : "BUSY");
    return text;
}

std::string erroredAnswer() {
    std::string text;
    resp::addError(text, "ERR failed");
    return text;
}

}  // namespace arrowstile
