// Intersection of the regions that a route and an organisation allow.
#include "dispatch/allowedregions.h"

#include <algorithm>

namespace comfrey {

AllowedRegions::AllowedRegions(const std::vector<RegionId> &ofRoute,
                               const std::vector<RegionId> &ofOrganisation)
    : m_isLimited(!ofRoute.empty() || !ofOrganisation.empty()),
      m_regions(ofRoute.empty() ? ofOrganisation : ofRoute)
{
    if (ofRoute.empty() || ofOrganisation.empty())
        return;
    std::erase_if(m_regions, [&](const RegionId &region) {
        return std::find(ofOrganisation.begin(), ofOrganisation.end(), region)
            == ofOrganisation.end();
    });
}

bool AllowedRegions::allows(const RegionId &region) const
{
    return !m_isLimited || std::find(m_regions.begin(), m_regions.end(), region) != m_regions.end();
}

bool AllowedRegions::allows(const ZoneId &zone, const ZoneRegions &regions) const
{
    if (!m_isLimited)
        return true;
    const auto found = regions.find(zone);
    return found != regions.end() && allows(found->second);
}

} // namespace comfrey
