#include "transport/rpc.h"
