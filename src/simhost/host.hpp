#pragma once

#include <arrowstile/gatekeeper.hpp>
#include <iosfwd>
#include <map>

#include "wire.hpp"

namespace arrowstile::simhost {

class Host {
public:
    Reply answer(const Batch &batch);

private:
    std::map<InstanceNumber, Gatekeeper> gatekeepers_;
};

/// Serves frames until the input ends; the result is the exit code of the program.
int serve(std::istream &in, std::ostream &out, std::ostream &complaints);

}  // namespace arrowstile::simhost
