/**
 * Simulations of the routing policy in virtual time, and cost measurements for capacity planning.
 */
package org.bronzelug.measure;
