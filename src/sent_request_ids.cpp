/// \file
/// See arrowstile/sent_request_ids.hpp.
#include <arrowstile/sent_request_ids.hpp>
#include <functional>

namespace arrowstile {
namespace {

constexpr Duration kRetention = std::chrono::seconds(60);

std::size_t hashOf(std::string_view requestId) { return std::hash<std::string_view>{}(requestId); }

}  // namespace

void SentRequestIds::add(std::string_view requestId, Effect effect, Timestamp now) {
    if (effect == Effect::idempotent) return;
    const std::size_t idHash = hashOf(requestId);
    lastSentAt_[idHash] = now;
    entries_.push_back({idHash, now});
    forgetOld(now);
}

bool SentRequestIds::contains(std::string_view requestId, Timestamp now) {
    forgetOld(now);
    return lastSentAt_.contains(hashOf(requestId));
}

void SentRequestIds::forgetOld(Timestamp now) {
    while (!entries_.empty() && (entries_.size() > capacity_ || now - entries_.front().sentAt > kRetention)) {
        const auto found = lastSentAt_.find(entries_.front().idHash);
        // An id that was sent again later stays for that.
        if (found != lastSentAt_.end() && found->second == entries_.front().sentAt) lastSentAt_.erase(found);
        entries_.pop_front();
    }
}

}  // namespace arrowstile
