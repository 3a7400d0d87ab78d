#include "state/configuration.h"
