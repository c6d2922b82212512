/*
 * Error numbers of the base package. Every package has a range of 100 negative
 * numbers; 0 is success everywhere.
 */
#ifndef CASSIA_ERROR_H
#define CASSIA_ERROR_H

enum base_error {
	BASE_OK = 0,
	BASE_ENOMEM = -1001,
	BASE_EINVAL = -1002,
	BASE_ERANGE = -1003,
};

#endif
