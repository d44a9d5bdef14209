// Limits a request to backend servers in the regions that its route and its organisation allow.
#pragma once

#include <map>
#include <vector>

#include "comfrey/ids.h"

namespace comfrey {

/// The region of each availability zone.
using ZoneRegions = std::map<ZoneId, RegionId>;

/// The regions in which a request may be handled. Without a list from its route or organisation,
/// every region is allowed.
class AllowedRegions
{
public:
    /// Allows every region.
    AllowedRegions() = default;
    /// Allows the regions that are in each list that is not empty.
    AllowedRegions(const std::vector<RegionId> &ofRoute,
                   const std::vector<RegionId> &ofOrganisation);

    /// False if every region is allowed.
    bool isLimited() const { return m_isLimited; }
    bool allows(const RegionId &region) const;
    /// A zone whose region is not known is allowed only if every region is.
    bool allows(const ZoneId &zone, const ZoneRegions &regions) const;

private:
    bool m_isLimited = false;
    std::vector<RegionId> m_regions; ///< Meaningless unless m_isLimited.
};

} // namespace comfrey
