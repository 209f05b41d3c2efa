/** What the traffic thread knows: configuration, endpoints, rates; and how it chooses. */
package org.bronzelug.router.traffic;
