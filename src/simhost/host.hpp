#pragma once

#include <arrowstile/decision_engine.hpp>
#include <iosfwd>
#include <map>

#include "wire.hpp"

namespace arrowstile::simhost {

class Host {
public:
    Reply answer(const Batch &batch);

private:
    std::map<InstanceNumber, DecisionEngine> gatekeepers_;
};

/// Serves frames until the input ends; the result is the exit code of the program.
int serve(std::istream &in, std::ostream &out, std::ostream &complaints);

}  // namespace arrowstile::simhost
