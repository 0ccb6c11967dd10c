/*
 * A full read that takes two pages while the store changes (platform/adapter,
 * replicas of entry/gateway, core/catalog).
 *
 * Each page shows one row at one moment. The hub reads both pages, or follows the
 * changes after the position of its replica. The VM reads from the hub the changes
 * after the position of its own replica, or all rows if the hub does not have all
 * changes since then.
 *
 * Property: a replica has, for each row, the change that the store has at the
 * position of the replica, or a later one.
 */

// MUTATION: POSITION_OF_NEWEST_ROW
// MUTATION: POSITION_OF_LAST_PAGE
// MUTATION: VM_TAKES_POSITION_OF_NEWEST_ROW

#define VERSIONS 7
#define ROW_AT(p, k) ((p) * 2 + (k))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* For each position and row: the position of the newest change of the row. */
byte changedAt[14];
byte current;

byte hub;
byte hubHistoryStart;
byte hubRow[2];
bool hubLoaded;

byte vm;
byte vmRow[2];

inline change(k)
{
  changedAt[ROW_AT(current + 1, 1 - k)] = changedAt[ROW_AT(current, 1 - k)];
  changedAt[ROW_AT(current + 1, k)] = current + 1;
  current++
}

#define COMPLETE(rows, p) (rows[0] >= changedAt[ROW_AT(p, 0)] && rows[1] >= changedAt[ROW_AT(p, 1)])

proctype Store()
{
end:
  do
  :: atomic { current < VERSIONS - 1 -> change(0) }
  :: atomic { current < VERSIONS - 1 -> change(1) }
  od
}

proctype Hub()
{
  byte position;
  byte firstRow;
end:
  do
  :: atomic { position = current; firstRow = changedAt[ROW_AT(current, 0)] };
     /* The store may change between the pages. */
     atomic {
       hubRow[0] = firstRow;
       hubRow[1] = changedAt[ROW_AT(current, 1)];
#ifdef POSITION_OF_NEWEST_ROW
       position = MAX(position, MAX(hubRow[0], hubRow[1]));
#endif
#ifdef POSITION_OF_LAST_PAGE
       position = current;
#endif
       hub = position; hubHistoryStart = position; hubLoaded = true;
       assert(COMPLETE(hubRow, hub));
       position = 0; firstRow = 0
     }
  :: atomic {
       hubLoaded && hub < current ->
       if :: changedAt[ROW_AT(current, 0)] > hub -> hubRow[0] = changedAt[ROW_AT(current, 0)] :: else fi;
       if :: changedAt[ROW_AT(current, 1)] > hub -> hubRow[1] = changedAt[ROW_AT(current, 1)] :: else fi;
       hub = current;
       assert(COMPLETE(hubRow, hub))
     }
  od
}

proctype VM()
{
  byte k;
end:
  do
  :: atomic {
       hubLoaded && vm < hub ->
       k = 0;
       do
       :: k < 2 ->
         /* Changes are those up to the position of the hub; a full copy has all rows. */
         if
         :: vm < hubHistoryStart || hubRow[k] > vm && hubRow[k] <= hub -> vmRow[k] = hubRow[k]
         :: else
         fi;
         k++
       :: else -> break
       od;
       vm = hub;
#ifdef VM_TAKES_POSITION_OF_NEWEST_ROW
       vm = MAX(vm, MAX(vmRow[0], vmRow[1]));
#endif
       assert(COMPLETE(vmRow, vm));
       k = 0
     }
  od
}

init
{
  atomic {
    run Store();
    run Hub();
    run VM()
  }
}
