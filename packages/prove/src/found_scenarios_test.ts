/** Scenarios that violated a point in the past, with their seeds. */
import { Point } from "./point.ts";

/** A scenario; each command is `kind gapMs pick other forMs`. */
export interface FoundScenario {
  readonly seed: number;
  readonly point: Point;
  readonly fault: string;
  readonly simulationSeed: number;
  readonly schedulers: number;
  readonly commands: string;
}

export const FOUND_SCENARIOS: readonly FoundScenario[] = [
  {
    seed: 265,
    point: Point.AtMostOnce,
    fault: "late copy of an ask after its task had ended",
    simulationSeed: 777622305,
    schedulers: 6,
    commands: `
      repeat-through-other-entry 44 910 734 3597;
      worker-fails-everything 539 831 585 6530; submit 38 484 369 2854;
      planned-stop 1366 220 738 4043; table-down 717 376 581 7126;
      connection-silent 44 740 430 2048; table-answers-lost 382 198 551 2052;
      table-heals 26 612 770 4872; two-faults 47 253 293 5227;
      return 723 62 1 2999; racing-edits 2937 703 997 972;
      resume 1210 966 244 6600; submit 665 227 188 664;
      withdraw-key 45 968 222 4327; submit 221 866 126 800;
      pause 110 272 181 6701; repeat-through-other-entry 1288 181 372 4490;
      messages-late 23 829 128 6871; lower-ceiling 6 635 552 1826;
      submit-non-idempotent 1823 191 746 5207; cancel-wave 39 363 460 7237;
      replace 631 997 456 263; pause 690 847 860 2569;`,
  },
  {
    seed: 423,
    point: Point.AtMostOnce,
    fault: "late copy of an ask after its task had ended elsewhere",
    simulationSeed: 944443972,
    schedulers: 3,
    commands: `
      messages-late 653 616 886 5129; submit-non-idempotent 0 728 638 181;
      worker-fails-everything 734 974 378 5413;`,
  },
  {
    seed: 549,
    point: Point.SingleRun,
    fault: "one of two calls that carried the same start was refused",
    simulationSeed: 981590297,
    schedulers: 3,
    commands: `
      foreign-calls 28 913 558 2821; drain 251 136 130 17;
      return 1623 903 681 3268; resume 634 431 130 1682;
      messages-late 137 177 782 6645; withdraw-key 19 784 730 7624;
      submit 763 731 360 1680; submit 1122 612 540 1010;
      drain 35 228 42 6775; repeat-through-other-entry 6 407 464 7991;
      racing-edits 2521 663 964 6932; withdraw-key 1676 585 362 2985;
      submit 763 250 371 6495; withdraw-key 26 929 698 3144;
      worker-restarts 325 913 79 1332; return 59 76 677 4692;
      pause 4 463 157 4331; submit-non-idempotent 167 507 915 4299;
      kill 668 117 702 2320;`,
  },
  {
    seed: 95,
    point: Point.SingleRun,
    fault: "resumed owner declared leases expired",
    simulationSeed: 877597677,
    schedulers: 6,
    commands: `
      pause 527 6 325 431; submit 686 304 331 6490; resume 525 80 317 1072;
      pause 598 529 926 6180; pause 4 368 528 3914;
      messages-heal 496 945 680 3535; connection-silent 3 308 244 4287;
      pause 797 775 680 5043; connection-silent 31 181 819 3748;
      messages-doubled 2607 854 468 7011; lower-ceiling 16 582 206 1282;
      kill 8 298 102 7720; lower-ceiling 353 438 483 1649;
      drain 267 88 517 4761; pause 688 112 425 3371;
      messages-doubled 42 205 404 7909; two-faults 14 596 475 7665;
      connection-silent 27 989 341 3261; table-heals 229 120 494 6546;
      submit-non-idempotent 11 76 708 3562; kill 632 647 685 7023;
      submit 1784 759 908 923;`,
  },
  {
    seed: 5,
    point: Point.OwnAnswer,
    fault: "member of a committed gang was lost with its slice",
    simulationSeed: 592383180,
    schedulers: 3,
    commands: `
      table-heals 655 617 556 6082; grant-key 28 120 420 554;
      messages-lost 387 594 452 3843; submit 109 415 882 1761;
      table-down 746 357 967 7457; table-heals 722 243 346 1213;
      grant-key 484 151 666 2102; grant-key 268 701 7 5680;
      table-answers-lost 10 29 420 2052; submit 35 405 360 1041;
      table-late-writes 394 568 130 2414; kill 86 693 441 7826;
      planned-stop 56 22 581 1964; replace 237 418 627 3228;
      return 125 360 206 4976; replace 303 190 275 7418;
      planned-stop 214 763 815 3995; drain 165 927 372 1440;
      messages-late 51 196 774 7288; two-faults 348 907 989 7475;
      worker-fails-everything 111 361 278 2600;
      status-wave 1125 437 721 7575; table-slow 23 922 215 2511;
      kill 162 184 904 3162;`,
  },
  {
    seed: 186,
    point: Point.OwnAnswer,
    fault: "member of a committed gang was declined",
    simulationSeed: 527697841,
    schedulers: 3,
    commands: `
      messages-heal 755 191 893 7268; remove-instance 12 29 410 3881;
      table-heals 539 355 606 527; table-slow 90 44 226 479;
      worker-fails-everything 10 848 150 2749; resume 13 117 237 28;
      submit 212 898 229 6915; resume 51 311 105 6265;
      table-down 45 575 474 6272; drain 59 936 223 5092;
      remove-instance 21 542 896 940; connection-silent 48 758 690 4540;
      submit-non-idempotent 100 20 947 5173;`,
  },
  {
    seed: 838,
    point: Point.OwnAnswer,
    fault: "cancellation was accepted before a takeover",
    simulationSeed: 799084518,
    schedulers: 3,
    commands: `
      submit 321 536 999 6026; return 385 660 900 5157; kill 18 697 945 2269;
      messages-lost 539 975 8 6667; worker-heals 609 505 6 711;
      drain 43 860 274 1827; grant-key 21 542 339 4509;
      drain 196 300 920 3850; resume 376 316 71 2441;
      worker-restarts 24 299 217 4942; submit 221 412 813 7784;
      kill 362 231 717 4141; submit 2362 463 907 4122;
      remove-instance 37 359 75 3423; submit 79 927 280 7826;
      submit 2119 501 339 5345; status-wave 791 665 578 4615;
      target-leaves 234 338 594 3227; submit-non-idempotent 255 823 401 5372;
      pause 108 703 592 3524; planned-stop 382 161 372 6246;`,
  },
  {
    seed: 448,
    point: Point.OwnAnswer,
    fault: "non-idempotent task was preempted",
    simulationSeed: 216372790,
    schedulers: 3,
    commands: `
      submit-non-idempotent 705 660 341 4229;
      connection-silent 243 369 914 6994; drain 614 449 604 5764;
      submit 186 187 794 2705; remove-instance 56 757 798 6595;
      racing-edits 270 728 51 3406; return 2071 313 158 4507;
      planned-stop 110 815 55 556; remove-instance 2961 313 535 5552;
      submit 17 975 273 3088; submit-non-idempotent 1 305 491 5710;
      repeat-through-other-entry 4 643 715 5173;`,
  },
  {
    seed: 302,
    point: Point.SingleRun,
    fault: "instance left before its slice got a new owner",
    simulationSeed: 41484656,
    schedulers: 3,
    commands: `
      submit 39 750 960 1140; planned-stop 2911 720 741 5870;
      submit-non-idempotent 24 882 516 2305; submit 784 303 745 6480;
      submit 6 614 409 2301; lower-ceiling 52 970 324 6370;
      raise-ceiling 54 183 4 249; submit-non-idempotent 28 248 259 362;
      replace 58 184 193 3360; table-heals 46 705 818 6933;
      table-heals 326 306 311 820; submit-non-idempotent 786 963 992 3678;
      cancel-wave 18 348 80 2374; messages-doubled 83 151 623 2742;
      racing-edits 29 274 154 887; drain 2261 184 49 6142;
      pause 487 779 604 5498; target-leaves 79 107 485 2115;
      submit 214 687 147 1631; target-leaves 1384 467 619 34;
      submit 718 613 436 1072; pause 583 247 448 610;
      remove-instance 36 246 464 6951;
      worker-fails-everything 210 15 578 6338; planned-stop 35 365 788 2157;
      submit-non-idempotent 2042 117 670 3824; table-slow 14 384 750 706;
      submit-non-idempotent 53 666 117 683; submit 780 125 715 4408;
      repeat-through-other-entry 699 218 940 3041;`,
  },
  {
    seed: 619,
    point: Point.SingleRun,
    fault: "instance left while its owner was paused",
    simulationSeed: 816773803,
    schedulers: 3,
    commands: `
      submit 2399 218 459 4425; messages-heal 34 409 29 1933;
      messages-doubled 59 594 652 5297; cancel-wave 594 239 183 3732;
      submit 536 159 596 5222; raise-ceiling 495 797 807 1458;
      cancel-wave 518 257 987 3813; submit 49 529 204 5857;
      submit 523 484 643 3204; cancel-wave 367 16 372 538;
      target-leaves 52 59 963 4273; cancel-wave 521 667 239 1963;
      worker-fails-everything 300 188 161 6286; drain 358 270 187 5534;
      worker-restarts 52 458 109 2050; submit 55 346 471 6018;
      replace 959 466 462 497; remove-instance 275 448 978 4382;
      messages-doubled 2959 933 937 6380; grant-key 641 133 372 1833;
      table-slow 705 747 707 1636; cancel-wave 4 224 433 4670;
      messages-late 438 800 363 3056; submit-non-idempotent 737 405 707 993;
      pause 52 335 211 3176;`,
  },
  {
    seed: 1563,
    point: Point.AtMostOnce,
    fault: "instance left with a non-idempotent task",
    simulationSeed: 437703766,
    schedulers: 6,
    commands: `
      submit-non-idempotent 752 581 566 1440; drain 540 958 491 7779;
      kill 73 385 379 5993; worker-heals 1835 267 562 405;
      two-faults 236 817 912 7620; replace 10 920 498 5064;
      resume 187 634 502 6601; submit 39 543 314 203;
      submit 163 233 328 6123; submit-non-idempotent 1232 520 702 6222;
      submit 383 597 691 370; worker-fails-everything 5 832 197 2653;
      submit 130 26 606 746; table-slow 1644 899 855 1897;
      worker-restarts 55 931 913 7572; submit 14 214 407 5106;
      replace 2589 340 576 3857; kill 298 599 857 4584;
      withdraw-key 189 503 703 6214; worker-restarts 236 31 648 866;
      table-answers-lost 40 398 369 3323; submit 46 936 609 1856;
      repeat-through-other-entry 44 468 884 7801; kill 433 199 425 5517;
      messages-doubled 10 564 185 397; remove-instance 41 413 50 5861;
      connection-silent 271 266 11 5289;`,
  },
  {
    seed: 3440,
    point: Point.SingleRun,
    fault: "instance left with members of a gang",
    simulationSeed: 399119727,
    schedulers: 3,
    commands: `
      resume 606 418 559 7955; submit 1634 232 847 2975;
      messages-late 25 402 31 3459; target-leaves 80 419 920 4671;
      submit 1336 364 89 3080; target-leaves 22 480 1 1366;
      worker-fails-everything 2919 577 364 3751;
      raise-ceiling 11 929 811 6864; table-heals 24 895 257 77;
      status-wave 19 541 68 1253; messages-lost 159 139 540 4435;
      messages-doubled 731 614 66 4772; remove-instance 1 282 460 7771;
      messages-doubled 20 40 644 2470; drain 53 811 480 7854;
      pause 45 552 309 857; remove-instance 32 556 743 339;
      messages-doubled 49 501 30 6739;`,
  },
  {
    seed: 4225,
    point: Point.TeamCeiling,
    fault: "tasks of an instance that left were not counted",
    simulationSeed: 1034978977,
    schedulers: 3,
    commands: `
      withdraw-key 35 363 247 2929; pause 336 516 547 3179;
      messages-doubled 49 62 391 1359; lower-ceiling 2172 913 637 5736;
      submit 24 819 146 7098; lower-ceiling 33 551 622 5212;
      replace 54 315 374 2222; connection-silent 1 446 690 2024;
      table-answers-lost 19 500 537 6816; foreign-calls 10 201 12 4256;
      status-wave 427 137 873 7330; remove-instance 660 116 476 5669;
      messages-doubled 2365 473 431 6289; cancel-wave 57 793 453 271;
      worker-fails-everything 1 571 580 1158;
      submit-non-idempotent 477 992 386 5406; return 29 493 501 2454;
      remove-instance 388 121 281 4888; racing-edits 0 891 921 2270;
      messages-heal 436 91 988 6504;`,
  },
  {
    seed: 3939,
    point: Point.TeamCeiling,
    fault: "start was resent after the ceiling was lowered",
    simulationSeed: 756249429,
    schedulers: 3,
    commands: `
      grant-key 700 158 981 4172; submit 211 858 613 3196;
      table-heals 2952 666 171 3216; messages-late 1475 50 306 2716;
      submit 2562 203 603 4592; connection-silent 38 200 336 1877;
      lower-ceiling 3 545 32 3572; table-down 730 577 696 6697;
      drain 527 269 569 7540; table-heals 691 988 769 6812;
      table-heals 126 11 733 661; planned-stop 1872 306 177 2325;
      resume 780 445 856 5657; resume 130 185 51 6139;
      cancel-wave 985 191 950 6239; target-leaves 29 493 156 2932;
      table-down 600 592 146 6111; worker-lies 490 864 88 7346;`,
  },
  {
    seed: 1850,
    point: Point.OwnAnswer,
    fault: "gang on an instance with less capacity than listed",
    simulationSeed: 749053125,
    schedulers: 6,
    commands: `
      kill 52 573 168 4470; submit 1859 49 597 2025;
      table-heals 334 326 945 7718; two-faults 312 270 318 7618;
      worker-restarts 1793 309 750 3885; submit 448 756 427 4990;
      table-down 1 264 797 3913;`,
  },
  {
    seed: 4869,
    point: Point.OwnAnswer,
    fault: "end of a task carried the sequence number of another ask",
    simulationSeed: 791660487,
    schedulers: 3,
    commands: `
      submit-non-idempotent 709 147 931 3826; submit 558 193 489 6063;
      planned-stop 38 920 795 2971; planned-stop 30 623 648 998;
      worker-fails-everything 287 892 976 6441; table-heals 588 969 7 2798;
      connection-silent 2009 221 582 6822; worker-lies 49 137 901 7411;
      lower-ceiling 683 875 268 5713; table-answers-lost 2260 49 820 7779;
      submit 335 250 815 2477; submit 679 149 450 7346;
      worker-restarts 16 208 566 3179; table-answers-lost 2578 76 353 2118;
      submit-non-idempotent 19 420 250 897; submit 1123 574 225 4848;
      table-down 33 617 254 2028; planned-stop 15 551 354 3187;
      resume 23 37 526 4790; submit 41 786 681 4214;
      worker-restarts 658 292 166 4989; status-wave 49 859 267 6151;
      planned-stop 60 798 812 5998; submit-non-idempotent 1 647 736 7456;
      cancel-wave 27 260 401 3146; two-faults 496 3 297 5380;
      cancel-wave 21 861 26 2353; return 36 38 807 6551;
      submit 47 126 104 1508; repeat-through-other-entry 611 781 597 3495;`,
  },
  {
    seed: 35,
    point: Point.LeavingTarget,
    fault: "instance marked as leaving",
    simulationSeed: 797999821,
    schedulers: 3,
    commands: `
      connection-silent 31 871 419 4067;
      submit-non-idempotent 573 288 477 310; target-leaves 5 823 888 6051;
      planned-stop 11 464 495 4527; drain 36 487 732 2362;
      submit 853 710 489 3307; submit-non-idempotent 48 946 87 2833;
      table-heals 367 356 795 2728; messages-lost 1882 655 263 2353;
      withdraw-key 575 905 459 197; worker-heals 25 374 975 4591;
      return 1419 886 152 1852; messages-late 441 805 796 1150;
      withdraw-key 526 367 731 1831;
      repeat-through-other-entry 28 520 984 6435;
      foreign-calls 2 305 720 3390; submit 71 967 86 7136;
      planned-stop 638 461 346 2391; table-answers-lost 117 264 825 2832;
      messages-heal 1661 371 637 948; submit-non-idempotent 488 588 544 4746;
      submit-non-idempotent 221 641 575 2053;
      messages-doubled 721 840 210 7761; submit 11 466 659 520;
      worker-fails-everything 184 294 689 1506; submit 238 973 528 6310;
      worker-heals 676 238 72 4079; worker-lies 26 920 828 601;
      submit 150 542 266 4435; grant-key 57 594 196 4127;`,
  },
  {
    seed: 71,
    point: Point.LeavingTarget,
    fault: "instance marked as leaving, two teams",
    simulationSeed: 462644656,
    schedulers: 3,
    commands: `
      remove-instance 2926 154 377 5076; target-leaves 165 137 930 3988;
      remove-instance 2920 501 400 236; foreign-calls 516 530 948 7709;
      drain 189 145 563 7670; lower-ceiling 16 509 125 4492;
      submit 66 348 648 4958; submit-non-idempotent 1223 488 485 7074;
      kill 42 728 66 7363; submit 34 318 425 5540;
      two-faults 49 833 167 3195; withdraw-key 595 197 765 787;
      cancel-wave 384 145 122 7930; remove-instance 21 307 607 394;
      worker-restarts 29 482 586 1791; submit 393 889 546 1947;
      messages-doubled 287 515 790 3706; messages-doubled 2905 280 520 1932;
      return 443 824 138 1697; status-wave 118 122 727 5441;`,
  },
];
