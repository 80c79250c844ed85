import { NO_RESOURCES, type Resources } from "@mustardweir/model";
import { expect } from "chai";
import { NoRoom } from "./no_room.ts";

interface NoRoomCase {
  readonly name: string;
  readonly act: (noRoom: NoRoom) => void;
  readonly size: Resources;
  readonly covers: boolean;
}

const NO_ROOM_CASES: readonly NoRoomCase[] = [
  { name: "nothing at first", act: () => {}, size: size(9), covers: false },
  {
    name: "what is larger than a size that fits nowhere",
    act: (noRoom) => noRoom.note(size(2)),
    size: size(3),
    covers: true,
  },
  {
    name: "nothing that is smaller in one dimension",
    act: (noRoom) => noRoom.note(size(2, 8)),
    size: size(3, 7),
    covers: false,
  },
  {
    name: "nothing once room has come",
    act: (noRoom) => {
      noRoom.note(size(2));
      noRoom.clear();
    },
    size: size(3),
    covers: false,
  },
];

describe("NoRoom", () => {
  for (const { name, act, size, covers } of NO_ROOM_CASES) {
    it(`covers ${name}`, () => {
      const noRoom = new NoRoom();
      act(noRoom);
      expect(noRoom.covers(size)).to.equal(covers);
    });
  }
});

function size(cpuMillis: number, memoryMb = 0): Resources {
  return { ...NO_RESOURCES, cpuMillis, memoryMb };
}
