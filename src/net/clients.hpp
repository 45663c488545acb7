#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "core/pending_calls.hpp"
#include "stream.hpp"
#include "surroundings.hpp"

namespace arrowstile {

/// The side that faces clients: takes API calls off their connections and writes the answers in order.
class Clients {
public:
    Clients(Surroundings &around, PendingCallTable &book);
    ~Clients();

    /// Throws ConfigError if the address can't be listened on.
    void listen(const Address &at);
    void ready() { ready_ = true; }
    void answer(const PendingCall &ended, std::string text);
    void flush();
    /// A planned stop: connections close between calls, and nobody new is let in once nobody comes any more.
    void leave();
    bool gone() const { return leaving_ && !listener_ && links_.empty(); }

private:
    struct Link;
    enum class Among { all, strangers, callers };
    struct CloseListener {
        void operator()(uv_tcp_t *listener) const;
    };

    void accept();
    bool letGo(Among whom);
    void sweep();
    void endLongestBegun();
    void obey(Link &link, const resp::Command &command);
    void end(ClientId id);
    void leaveOn();
    void answerRest();

    Surroundings &around_;
    PendingCallTable &book_;
    std::unique_ptr<uv_tcp_t, CloseListener> listener_;
    std::size_t left_ = 0, begun_ = 0, strangers_ = 0;
    std::map<ClientId, std::unique_ptr<Link>> links_;
    std::set<ClientId> unflushed_;
    std::uint64_t lastId_ = 0;
    bool ready_ = false, leaving_ = false, closing_ = false;
    Timestamp leftAt_{}, cameAt_{};
    std::optional<Timestamp> waits_;  ///< since when one waits to be let in
};

}  // namespace arrowstile
