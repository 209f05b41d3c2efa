/** The platform's object store and the mirrors of its objects. */
package org.bronzelug.router.store;
