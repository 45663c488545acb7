/// \file
/// Program arrowstile_simhost: serves a simulator on standard input and output, see engine_host.hpp.
#include <iostream>

#include "engine_host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return arrowstile::simhost::serve(std::cin, std::cout, std::cerr);
}
