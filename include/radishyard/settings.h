// \file The settings that a balancer reads at its start: the struct `settings`,
// and ParseSettings, which reports all errors in a file together.
#pragma once
#include "settings/settings.h"
