#include "support/virtual_time.h"

namespace citronfall::testing {

duration virtual_time::vary(duration mean)
{
    return mean <= duration{0} ? mean : mean / 2 + duration{static_cast<std::int64_t>(draw(mean.count() + 1))};
}

} // namespace citronfall::testing
