// Rules module: parses and validates the operators' rules file.
#ifndef DRAGONFLYMOUNT_RULES_HPP
#define DRAGONFLYMOUNT_RULES_HPP

#include "dragonflymount/src/Rules/Model.hpp"
#include "dragonflymount/src/Rules/Parser.hpp"

#endif
