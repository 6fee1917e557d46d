// Measures decisions and messages at several sizes, for docs/CAPACITY.md.
#ifndef DRAGONFLYMOUNT_LOAD_MEASURE_HPP
#define DRAGONFLYMOUNT_LOAD_MEASURE_HPP

#include <ostream>

namespace dragonflymount::load_program {

void measure(std::ostream& out);

} // namespace dragonflymount::load_program

#endif
