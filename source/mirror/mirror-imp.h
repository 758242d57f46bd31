#ifndef COWSLIPSPOKE_MIRROR_IMP_H
#define COWSLIPSPOKE_MIRROR_IMP_H

/* What one host asks another for its mirror, up to the numbers.  */
extern const char csp_mirror_path[];

#endif
