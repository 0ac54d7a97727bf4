#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "ranges/range_table.h"

#include <map>
#include <optional>
#include <vector>

namespace greengagechute::dispatch {

/// Holds the requests that a cold server gets from all hosts together to its allowance.
///
/// The load that these functions answer: hundreds of hosts find the same server cold, after a start
/// or the end of an evacuation, and each that sends it even one request a second sends it many
/// times what it can take. The coordinator lends the allowance of each cold server to one host at a
/// time; the others send it nothing. A loan ends by itself, before the coordinator lends the
/// allowance to another host.

/// Time for which a loan holds unless it is extended.
inline constexpr milliseconds loan_duration{1'500};

/// A loan at the host that holds it.
struct held_loan {
    double requests_per_s = 0;
    time_point until;
    /// Part of the next request that has been saved, at most 1. A loan begins without any, so that
    /// several holders in a row send no more than one would, but one request each.
    double credit = 0;
    time_point credited_at;
};

/// Makes a loan, or extends the one that the host has.
/// @param until  end of the loan: the rest of its time at the coordinator, counted from when this
///               host sent the report that was answered with it
void extend(held_loan& loan, double requests_per_s, time_point until, time_point now);
/// Whether one request may be sent now.
bool has_credit(const held_loan& loan, time_point now);
/// Takes one request out of the loan. Only valid if `has_credit`.
void take(held_loan& loan, time_point now);

/// A live host, to which allowances may be lent.
struct borrower {
    host_id host;
    data_centre_id data_centre;
    /// Empty if it is not known.
    region_id region;
};

/// A cold server whose allowance is to be lent.
struct cold_server {
    ranges::server_instance server;
    data_centre_id data_centre;
    region_id region;
    double requests_per_s = 0;
};

/// The loans of a coordinator.
struct loan_book {
    struct loan {
        host_id host;
        time_point until;
    };
    std::map<ranges::server_instance, loan> loans;
    /// Loans of an earlier coordinator may hold until then.
    time_point lends_from;
};

/// @param may_lend  time for which an earlier coordinator may still make loans
loan_book make_loan_book(milliseconds may_lend, time_point now);

/// Lends the allowances of cold servers, and extends the loans of hosts that are still there. Near
/// hosts are preferred: the same data centre, then the same region; among equal ones each server
/// goes to another host.
/// @param servers  all cold servers; loans for others end
/// @param hosts    all live hosts
void lend(loan_book& book, const std::vector<cold_server>& servers,
          const std::vector<borrower>& hosts, time_point now);

/// Until when the host holds the allowance of the server; empty if it does not.
std::optional<time_point> loan_end(const loan_book& book, const ranges::server_instance& server,
                                   const host_id& host);

}  // namespace greengagechute::dispatch
