#pragma once

#include <functional>

#include "core/discovery_update.hpp"
#include "core/http.hpp"
#include "stream.hpp"
#include "surroundings.hpp"

namespace arrowstile {

/// The side that faces discovery: a watch that never ends, and whole lists when they are asked for.
class Discovery final : Stream::Holder {
public:
    using Heard = std::function<void(DiscoveryUpdate, WorkerListKind how)>;

    Discovery(Surroundings &around, Heard heard);

    /// Takes up the list from before the start, so that the watch tells what has changed since.
    void known(std::string_view list);
    void follow(bool on);
    void fetch();
    /// The address has changed: versions of the old place may mean nothing there, so all is asked for.
    void move();

private:
    std::size_t onBytes(std::string_view bytes) override;
    void onOpen() override;
    void onClosed() override { again(); }

    void hear(const HttpResponse &answer);
    void call();
    void again();

    Surroundings &around_;
    Heard heard_;
    DiscoveryParser reader_;
    std::unique_ptr<HttpResponseParser> answers_;
    Stream::Ptr stream_;
    Alarms::Key alarm_{};
    std::uint64_t version_ = 0;
    bool hasList_ = false, told_ = false, following_ = false, wholeWanted_ = false, askedWhole_ = false,
         open_ = false, out_ = false, broken_ = false;
};

}  // namespace arrowstile
