/* Ticket sales: two large customers, mostly searches, and orders of bundles
 * that make long call chains. */
#include "workload.h"

enum { AVAILABILITY, BOOKING, PRICING, GATE };

const workload_t workload_kalebasi = {
	.name = "kalebasi",
	.services = {
		[AVAILABILITY] = { "availability", 60, 470, 60000 },
		[BOOKING] = { "booking", 60, 470, 80000 },
		[PRICING] = { "pricing", 60, 470, 40000 },
		[GATE] = { "gate", 12, 170, 30000 },
	},
	.routes = {
		{ "enter", 15, 30, 2, { GATE, BOOKING }, 2 },
		{ "buy", 12, 250, 3, { BOOKING, PRICING, AVAILABILITY }, 2 },
		{ "search", 8, 530, 2, { AVAILABILITY, PRICING }, 2 },
		{ "bundle", 6, 90, 6, { BOOKING, AVAILABILITY, PRICING, BOOKING,
					AVAILABILITY, PRICING }, 2 },
		{ "report", 3, 100, 3, { PRICING, AVAILABILITY, BOOKING }, 2 },
	},
	.route_count = 5,
	.customers = {
		{ "bogazici", 8, 300 }, { "ege-turizm", 6, 250 },
		{ "kordon", 3, 120 }, { "liman", 2, 90 },
		{ "sahne", 2, 80 }, { "tiyatro", 2, 70 },
		{ "stadyum", 1, 50 }, { "muze", 1, 40 },
	},
	.regions = { "marmara", "aegean", "anatolia" },
	.same_dc_delay_us = 100,
	.same_region_delay_us = 500,
	.cross_region_delay_us = 8000,
	.client_delay_us = 8000,
	.client_timeout_us = 1500000,
};
