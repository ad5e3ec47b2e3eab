// The module settings: what a balancer is told at its start. It offers the
// value `settings` and ParseSettings, which reports all faults of a file
// together.
#pragma once
#include "settings/settings.h"
