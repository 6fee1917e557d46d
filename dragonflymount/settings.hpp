// Settings module: checked INI settings of one process.
#ifndef DRAGONFLYMOUNT_SETTINGS_HPP
#define DRAGONFLYMOUNT_SETTINGS_HPP

#include "dragonflymount/src/Settings/Settings.hpp"

#endif
