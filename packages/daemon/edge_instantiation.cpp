// Explicit instantiations of the event-driven request path for the platform's codec.
#include "coordination/edge_impl.h"
#include "platform/codec.h"

namespace zinnianotch
{

template class state_follower<platform::codec>;
template class stage_batcher<platform::codec>;
template class stage_router<platform::codec>;
template class edge<platform::codec>;

} // namespace zinnianotch
