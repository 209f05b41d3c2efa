/** The micro-kernel: services with start and stop that find each other by name. */
package org.bronzelug.kernel;
