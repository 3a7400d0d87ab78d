#include "transport/http_client.h"
