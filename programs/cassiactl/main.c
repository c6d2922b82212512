/* cassiactl, the command line program for operators of cassiadale. */
#include "ctl.h"

int main(int argc, char **argv)
{
	return ctl_main(argc, argv, stdout, stderr);
}
