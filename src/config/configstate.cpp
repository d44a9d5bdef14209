// What one fold of the stream "config" has arrived at.
#include "config/configstate.h"

#include <algorithm>

namespace comfrey {

namespace {

template<typename Predicate>
const SeenChange *newest(const std::deque<SeenChange> &seen, const Predicate &matches)
{
    const auto found = std::find_if(seen.rbegin(), seen.rend(), matches);
    return found == seen.rend() ? nullptr : &*found;
}

} // namespace

const SeenChange *ConfigState::find(const ChangeId &id) const
{
    return newest(seen, [&id](const SeenChange &change) { return change.change == id; });
}

const SeenChange *ConfigState::findRevision(Revision revision) const
{
    return newest(seen,
                  [revision](const SeenChange &change) { return change.revision == revision; });
}

} // namespace comfrey
