/** The configuration in force: routes, pools, teams with their keys, and limits. */
package org.bronzelug.core.routing;
