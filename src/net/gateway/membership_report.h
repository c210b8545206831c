// This module renders the membership view for operators, as metrics and as JSON.
#ifndef POSTSPREAD_NET_GATEWAY_MEMBERSHIP_REPORT_H_
#define POSTSPREAD_NET_GATEWAY_MEMBERSHIP_REPORT_H_

#include <string>

#include "membership/membership.h"
#include "net/gateway/peer_datagrams.h"
#include "ops/metrics.h"

namespace postspread::net {

ops::MembershipMetrics CollectMembershipMetrics(const membership::Membership& membership,
                                                const PeerDatagrams& peers);

std::string MembershipJson(const membership::Membership& membership, const PeerDatagrams& peers);

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_MEMBERSHIP_REPORT_H_
