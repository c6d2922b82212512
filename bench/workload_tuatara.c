/* Sales of hail netting: orders check the catalogue. The longest call chain is
 * that of the route season, through three services twice. */
#include "workload.h"

enum { CATALOGUE, ORDERS, QUOTES, DISPATCH };

const workload_t workload_tuatara = {
	.name = "tuatara",
	.services = {
		[CATALOGUE] = { "catalogue", 110, 750, 80000 },
		[ORDERS] = { "orders", 110, 750, 120000 },
		[QUOTES] = { "quotes", 110, 750, 90000 },
		[DISPATCH] = { "dispatch", 20, 230, 50000 },
	},
	.routes = {
		{ "dispatch", 15, 20, 2, { DISPATCH, ORDERS }, 2 },
		{ "order", 12, 220, 3, { ORDERS, QUOTES, CATALOGUE }, 2 },
		{ "browse", 8, 460, 1, { CATALOGUE }, 2 },
		{ "quote", 6, 200, 2, { QUOTES, CATALOGUE }, 2 },
		{ "season", 4, 100, 6, { QUOTES, CATALOGUE, ORDERS, QUOTES,
					 CATALOGUE, ORDERS }, 2 },
	},
	.route_count = 5,
	.customers = {
		{ "pukeko", 10, 350 }, { "kereru", 6, 220 },
		{ "orchard-union", 4, 150 }, { "weka", 2, 80 },
		{ "tui", 2, 70 }, { "kaka", 1, 50 },
		{ "moa-fields", 1, 45 }, { "ruru", 1, 35 },
	},
	.regions = { "waikato", "hawkes-bay", "otago" },
	.same_dc_delay_us = 100,
	.same_region_delay_us = 1500,
	.cross_region_delay_us = 8000,
	.client_delay_us = 8000,
	.client_timeout_us = 2500000,
};
