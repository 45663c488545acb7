/// \file
/// See arrowstile/sent_request_ids.hpp.
#include <arrowstile/sent_request_ids.hpp>
#include <functional>

namespace arrowstile {
namespace {

constexpr Duration kRetention = std::chrono::seconds(60);

std::size_t hashOf(std::string_view requestId) { return std::hash<std::string_view>{}(requestId); }

}  // namespace

void SentRequestIds::add(std::string_view requestId, Effect effect, ClientId client, Timestamp now) {
    if (effect == Effect::idempotent) return;
    const std::size_t idHash = hashOf(requestId);
    lastSends_[idHash] = {now, client};
    entries_.push_back({idHash, now});
    forgetOld(now);
}

std::optional<ClientId> SentRequestIds::clientOf(std::string_view requestId, Timestamp now) {
    forgetOld(now);
    const auto found = lastSends_.find(hashOf(requestId));
    return found == lastSends_.end() ? std::nullopt : std::optional(found->second.client);
}

void SentRequestIds::forgetOld(Timestamp now) {
    while (!entries_.empty() && (entries_.size() > capacity_ || now - entries_.front().sentAt > kRetention)) {
        const auto found = lastSends_.find(entries_.front().idHash);
        // An id that was sent again later stays for that.
        if (found != lastSends_.end() && found->second.sentAt == entries_.front().sentAt)
            lastSends_.erase(found);
        entries_.pop_front();
    }
}

}  // namespace arrowstile
